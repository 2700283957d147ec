package lifecycle

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/qmuntal/stateless"
)

func TestMachineTransitions(t *testing.T) {
	tests := map[string]struct {
		triggers []Trigger
		want     State
		wantErr  bool
	}{
		"complete response":       {triggers: []Trigger{Admit, Dispatch, FirstToken, Finish}, want: Finished},
		"response after retry":    {triggers: []Trigger{Admit, Dispatch, Retry, Dispatch, Finish}, want: Finished},
		"refusal before dispatch": {triggers: []Trigger{Admit, Refuse}, want: Refused},
		"retry while streaming":   {triggers: []Trigger{Admit, Dispatch, FirstToken, Retry, Dispatch}, want: Dispatched},
		"refusal while streaming": {triggers: []Trigger{Admit, Dispatch, FirstToken, Refuse}, want: Streaming, wantErr: true},
		"dispatch when finished":  {triggers: []Trigger{Admit, Dispatch, Finish, Dispatch}, want: Finished, wantErr: true},
	}
	mc := New()
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var rec Record
			var err error
			for _, tr := range tc.triggers {
				err = mc.Fire(t.Context(), &rec, tr)
			}
			g.Expect(rec.State).To(Equal(tc.want))
			var te *TransitionError
			g.Expect(errors.As(err, &te)).To(Equal(tc.wantErr))
		})
	}
}

func BenchmarkSharedMachine(b *testing.B) {
	mc := New()
	b.ReportAllocs()
	for b.Loop() {
		var rec Record
		for _, tr := range []Trigger{Admit, Dispatch, Finish} {
			if err := mc.Fire(context.Background(), &rec, tr); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func BenchmarkMachinePerRequest(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		sm := stateless.NewStateMachine(Received)
		configure(sm)
		for _, tr := range []Trigger{Admit, Dispatch, Finish} {
			if err := sm.Fire(tr); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func TestAbort(t *testing.T) {
	tests := map[string]struct {
		triggers []Trigger
		notRun   bool
		want     State
	}{
		"before admission":           {want: Refused},
		"not run while waiting":      {triggers: []Trigger{Admit}, notRun: true, want: Refused},
		"waiting for a retry":        {triggers: []Trigger{Admit, Dispatch, Retry}, want: Failed},
		"not run after dispatch":     {triggers: []Trigger{Admit, Dispatch}, notRun: true, want: Refused},
		"failure before first token": {triggers: []Trigger{Admit, Dispatch}, want: Failed},
		"failure while streaming":    {triggers: []Trigger{Admit, Dispatch, FirstToken}, want: Failed},
	}
	mc := New()
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var rec Record
			for _, tr := range tc.triggers {
				g.Expect(mc.Fire(t.Context(), &rec, tr)).To(Succeed())
			}
			g.Expect(mc.Abort(&rec, tc.notRun)).To(Succeed())
			g.Expect(rec.State).To(Equal(tc.want))
			var te *TransitionError
			g.Expect(errors.As(mc.Abort(&rec, tc.notRun), &te)).To(BeTrue(), "a request ends only once")
		})
	}
}
