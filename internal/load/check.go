package load

import "github.com/silvermount/silvermount/internal/standin/tokengen"

// checkAnswer sets Correct if the text is complete and the same as a simulated engine generates for the prompt. It clears the
// text to free its memory.
func (rs *Result) checkAnswer(prompt string) {
	rs.Correct = rs.Complete && rs.text == tokengen.Generate(prompt, rs.OutputTokens)
	rs.text = ""
}
