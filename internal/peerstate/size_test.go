package peerstate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/placement"
)

const (
	// typicalTargets, typicalLoaded and typicalLeaving describe a fleet in a busy hour, as seen by one of six instances.
	typicalTargets = 18
	typicalLoaded  = 12
	typicalLeaving = 5
	// maxBytesPerTarget bounds the encoding of one loaded target.
	maxBytesPerTarget = 45
)

// typicalState returns a random state for a seed: the first 12 of 18 targets are loaded, and the last 5 are leaving.
func typicalState(seed uint64) State {
	rd := rand.New(rand.NewPCG(seed, 0))
	st := State{Configuration: 40 + int64(rd.IntN(20)), ProofAge: time.Duration(rd.IntN(3_000_000)) * time.Microsecond}
	st.Loads = map[string]placement.Load{}
	for no := range typicalTargets {
		id := fmt.Sprintf("i-%08x", rd.Uint32())
		if no%2 == 1 {
			id = fmt.Sprintf("i-%010x", rd.Uint64N(1<<40))
		}
		if no < typicalLoaded {
			st.Loads[id] = typicalLoad(rd)
		}
		if no >= typicalTargets-typicalLeaving {
			st.Leaving = append(st.Leaving, id)
		}
	}
	return st
}

// typicalLoad returns the load of a few requests in prefill, whole or split with helpers, and of some in decode.
func typicalLoad(rd *rand.Rand) placement.Load {
	var lo placement.Load
	for range rd.IntN(3) {
		lo = lo.Plus(typicalPrompt(rd).PrefillLoad(1))
	}
	if rd.IntN(3) == 0 {
		lo = lo.Plus(typicalPrompt(rd).HelperLoad(4))
	}
	for range 1 + rd.IntN(8) {
		lo = lo.Plus(typicalPrompt(rd).DecodeLoad())
	}
	return lo
}

func typicalPrompt(rd *rand.Rand) placement.Prompt {
	objectives := []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}
	pauses := []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, time.Second}
	tokens := 200 + rd.Int64N(12_000)
	worth := 1 + 0.1*float64(tokens)/1000
	return placement.Prompt{
		Tokens: tokens, AnswerTokens: 50 + rd.Int64N(500),
		Objective: objectives[rd.IntN(len(objectives))], MaxPause: pauses[rd.IntN(len(pauses))],
		InTimeWorth: placement.WorthOf(worth), LateWorth: placement.WorthOf(worth / 4), UntilDeadline: time.Minute,
	}
}

// sampleStates is the number of states whose size is measured.
const sampleStates = 200

func TestEncodedLoadedTargetSize(t *testing.T) {
	g := NewWithT(t)
	empty, err := State{}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	sum, largest := 0, 0
	for seed := range uint64(sampleStates) {
		for id, lo := range typicalState(seed).Loads {
			b, err := State{Loads: map[string]placement.Load{id: lo}}.Encode()
			g.Expect(err).NotTo(HaveOccurred())
			size := len(b) - len(empty)
			sum += size
			largest = max(largest, size)
		}
	}
	t.Logf("loaded target: mean %.1f bytes, maximum %d", float64(sum)/(sampleStates*typicalLoaded), largest)
	g.Expect(largest).To(BeNumerically("<", maxBytesPerTarget))
}

func TestEncodedStateIsSmallerThanJSON(t *testing.T) {
	g := NewWithT(t)
	binary, text := 0, 0
	for seed := range uint64(sampleStates) {
		st := typicalState(seed)
		b, err := st.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		js, err := encodeAsJSON(st)
		g.Expect(err).NotTo(HaveOccurred())
		binary += len(b)
		text += len(js)
	}
	t.Logf("state: mean %.1f bytes, %.1f as JSON", float64(binary)/sampleStates, float64(text)/sampleStates)
	g.Expect(binary).To(BeNumerically("<", text/6))
}

// BenchmarkState also reports the size of a typical state, and of the same state in the earlier JSON format.
func BenchmarkState(b *testing.B) {
	st := typicalState(1)
	bin, err := st.Encode()
	if err != nil {
		b.Fatal(err)
	}
	js, err := encodeAsJSON(st)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := st.Encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(bin)), "bytes")
		b.ReportMetric(float64(len(js)), "json-bytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Decode(bin); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// jsonState is the earlier JSON format of a state.
type jsonState struct {
	C int64                     `json:"c,omitempty"`
	P time.Duration             `json:"p,omitempty"`
	L []string                  `json:"l,omitempty"`
	F map[string]placement.Load `json:"f,omitempty"`
}

func encodeAsJSON(st State) ([]byte, error) {
	return json.Marshal(jsonState{C: st.Configuration, P: st.ProofAge, L: st.Leaving, F: st.Loads})
}
