package answerworth_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/answerworth"
)

// TestWorthGrowsWithEngineTimeAndUrgency guards against a price for each token, which values the longest prompts at all others together, and
// against a priority that outweighs everything else.
func TestWorthGrowsWithEngineTimeAndUrgency(t *testing.T) {
	const mean = 200 * time.Millisecond
	tests := map[string]struct {
		answer answerworth.Answer
		want   float64
	}{
		"mean length":                 {answerworth.Answer{EngineTime: mean, MeanEngineTime: mean}, 1},
		"a hundred times as much":     {answerworth.Answer{EngineTime: 100 * mean, MeanEngineTime: mean}, 10},
		"a quarter":                   {answerworth.Answer{EngineTime: mean / 4, MeanEngineTime: mean}, 0.5},
		"unknown engine time":         {answerworth.Answer{MeanEngineTime: mean}, 1},
		"unknown mean":                {answerworth.Answer{EngineTime: mean}, 1},
		"a step less urgent":          {answerworth.Answer{EngineTime: mean, MeanEngineTime: mean, Priority: 1}, 0.5},
		"least urgent":                {answerworth.Answer{EngineTime: mean, MeanEngineTime: mean, Priority: 9}, 1.0 / 16},
		"priority below the smallest": {answerworth.Answer{EngineTime: mean, MeanEngineTime: mean, Priority: -3}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.answer.Points()).To(BeNumerically("~", tc.want, 1e-9))
		})
	}
}
