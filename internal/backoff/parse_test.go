package backoff_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
)

func TestParse(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	at := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	tests := map[string]struct {
		values     []string
		answerDate string
		want       time.Duration
		malformed  string
	}{
		"absent":                            {},
		"seconds":                           {values: []string{"3"}, want: 3 * time.Second},
		"fraction of a second":              {values: []string{" 1.75 "}, want: 1750 * time.Millisecond},
		"zero":                              {values: []string{"0"}},
		"negative":                          {values: []string{"-1"}, malformed: "-1"},
		"not a number":                      {values: []string{"NaN"}, malformed: "NaN"},
		"infinite":                          {values: []string{"Inf"}, want: backoff.MaxDuration},
		"out of the range of float64":       {values: []string{"1e999"}, want: backoff.MaxDuration},
		"above the maximum":                 {values: []string{"31536000"}, want: backoff.MaxDuration},
		"not a number or date":              {values: []string{"soon"}, malformed: "soon"},
		"empty":                             {values: []string{""}, malformed: ""},
		"date":                              {values: []string{at(5 * time.Second)}, want: 5 * time.Second},
		"date relative to the answer date":  {values: []string{at(time.Hour)}, answerDate: at(time.Hour - 2*time.Second), want: 2 * time.Second},
		"date in the past":                  {values: []string{at(-time.Second)}},
		"several values: the longest wins":  {values: []string{"1", "4", "2"}, want: 4 * time.Second},
		"several values, one malformed":     {values: []string{"soon", "4"}, want: 4 * time.Second, malformed: "soon"},
		"date with a malformed answer date": {values: []string{at(time.Second)}, answerDate: "today", want: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, err := backoff.Parse(tc.values, tc.answerDate, now)
			g.Expect(got).To(Equal(tc.want))
			var me *backoff.MalformedError
			if !errors.As(err, &me) {
				g.Expect(tc.malformed).To(BeEmpty())
				g.Expect(err).To(Succeed())
				return
			}
			g.Expect(me.Value).To(Equal(tc.malformed))
		})
	}
}
