package load

import "github.com/silvermount/silvermount/internal/standin/answer"

// check compares the text with what a stand-in engine generates for the prompt.
func (rs *Result) checkAnswer(prompt string) {
	rs.Correct = rs.Complete && rs.text == answer.Of(prompt, rs.OutputTokens)
	rs.text = ""
}
