package peerstate

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
)

// genIncarnation draws incarnations of the typical form and arbitrary strings.
func genIncarnation() *rapid.Generator[string] {
	return rapid.OneOf(
		rapid.StringMatching(`i-[0-9a-f]{8}`),
		rapid.StringMatching(`i-[0-9a-f]{10}`),
		rapid.StringMatching(`i-[0-9a-fA-F]{0,5}`),
		rapid.String(),
	)
}

func genLoad() *rapid.Generator[placement.Load] {
	num := rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(0, 5000), rapid.Int64())
	return rapid.Custom(func(t *rapid.T) placement.Load {
		draw := func(label string) int64 { return num.Draw(t, label) }
		lo := placement.Load{
			WholePrefill: placement.Backlog{Tokens: draw("tokens"), Pairs: draw("pairs")},
			SplitPrefill: placement.Backlog{Tokens: draw("split tokens"), Pairs: draw("split pairs")},
			Prefilling:   int(draw("prefilling")), Decoding: int(draw("decoding")),
			ContextTokens: draw("context"), MemoryTokens: draw("memory"),
		}
		for cl := range lo.PauseRisk {
			lo.PauseRisk[cl] = placement.Worth(draw("pause risk"))
			lo.FirstTokenRisk[cl] = placement.Worth(draw("first token risk"))
		}
		return lo
	})
}

func genState() *rapid.Generator[State] {
	return rapid.Custom(func(t *rapid.T) State {
		return State{
			Configuration:   rapid.Int64().Draw(t, "configuration"),
			ProofAge:        time.Duration(rapid.Int64().Draw(t, "proof age")),
			TargetsPosition: position.Unpack(rapid.Int64().Draw(t, "targets")),
			TargetsAge:      time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "targets age")).Truncate(time.Millisecond),
			Leaving:         rapid.SliceOfN(genIncarnation(), 0, 6).Draw(t, "leaving"),
			Loads:           rapid.MapOfN(genIncarnation(), genLoad(), 0, 6).Draw(t, "loads"),
		}
	})
}

// wantDecoded returns the state that a peer decodes from the encoding of st.
func wantDecoded(st State) State {
	age := max(0, min(st.ProofAge, maxAge))
	if rest := age % time.Millisecond; rest > 0 {
		age += time.Millisecond - rest
	}
	want := State{Configuration: st.Configuration, ProofAge: age, TargetsPosition: st.TargetsPosition, TargetsAge: st.TargetsAge}
	want.Leaving = slices.Compact(slices.Sorted(slices.Values(st.Leaving)))
	for id, lo := range st.Loads {
		if lo == (placement.Load{}) {
			continue
		}
		if want.Loads == nil {
			want.Loads = map[string]placement.Load{}
		}
		want.Loads[id] = lo.Rounded()
	}
	return want
}

func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		st := genState().Draw(t, "state")
		b, err := st.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		read, err := Decode(b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read).To(Equal(wantDecoded(st)))
		again, err := read.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(b))
	})
}

func TestDecodeRejectsEveryTruncatedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b, err := genState().Draw(t, "state").Encode()
		g.Expect(err).NotTo(HaveOccurred())
		for size := range b {
			_, err := Decode(b[:size])
			g.Expect(isDecodeError(err)).To(BeTrue(), "%d of %d bytes: %v", size, len(b), err)
		}
		_, err = Decode(append(b, 0))
		g.Expect(isDecodeError(err)).To(BeTrue())
	})
}

// isDecodeError reports whether err has one of the types that Decode documents.
func isDecodeError(err error) bool {
	var ve *VersionError
	var me *MalformedError
	var te *TooManyTargetsError
	var ee *placement.EncodingError
	return errors.As(err, &ve) || errors.As(err, &me) || errors.As(err, &te) || errors.As(err, &ee)
}

// TestWireFormatIsUnchanged guards against a change of the wire format without a change of formatVersion.
func TestWireFormatIsUnchanged(t *testing.T) {
	decoding := placement.Load{Decoding: 3}
	cases := map[string]struct {
		state State
		want  string
	}{
		"empty":         {State{}, "030000000000"},
		"configuration": {State{Configuration: 300, ProofAge: time.Millisecond + 1}, "03ac0202000000"},
		"targets":       {State{TargetsPosition: position.Position{Revision: 5}, TargetsAge: 3 * time.Millisecond}, "030000" + "0503" + "00"},
		"empty load":    {State{Loads: map[string]placement.Load{"i-01": {}}}, "030000000000"},
		"leaving":       {State{Leaving: []string{"i-7f3a91c2"}}, "0300000000" + "01" + "237f3a91c2"},
		"longer hex":    {State{Leaving: []string{"i-2f8030e4a8"}}, "0300000000" + "01" + "2b2f8030e4a8"},
		"not packed":    {State{Leaving: []string{"i-A", "t"}}, "0300000000" + "02" + "1a692d41" + "0a74"},
		"loaded":        {State{Loads: map[string]placement.Load{"i-01": decoding}}, "0300000000" + "01" + "0d01" + "0103"},
		"loaded and leaving": {
			State{Loads: map[string]placement.Load{"i-01": decoding}, Leaving: []string{"i-01"}},
			"0300000000" + "01" + "0f01" + "0103",
		},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, err := ca.state.Encode()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(hex.EncodeToString(b)).To(Equal(ca.want))
		})
	}
}

func TestDecodeRejectsMalformedInput(t *testing.T) {
	huge := hex.EncodeToString(binary.AppendUvarint(nil, 1<<62))
	cases := map[string]struct {
		in   string
		want any
	}{
		"no bytes":                     {"", new(*MalformedError)},
		"json":                         {hex.EncodeToString([]byte(`{"c":1}`)), new(*VersionError)},
		"next version":                 {"040000000000", new(*VersionError)},
		"earlier version":              {"02000000", new(*VersionError)},
		"targets' age":                 {"03000000" + huge + "00", new(*MalformedError)},
		"no configuration":             {"03", new(*MalformedError)},
		"integer of 11 bytes":          {"03ffffffffffffffffffffff", new(*MalformedError)},
		"age too large":                {"0300" + huge + "00", new(*MalformedError)},
		"too many targets":             {"0300000000" + "818001", new(*TooManyTargetsError)},
		"far too many targets":         {"0300000000" + huge, new(*TooManyTargetsError)},
		"long incarnation":             {"0300000000" + "01" + huge, new(*MalformedError)},
		"target missing":               {"0300000000" + "02" + "1a692d41", new(*MalformedError)},
		"target twice":                 {"0300000000" + "02" + "0b01" + "0b01", new(*MalformedError)},
		"target twice, packed and not": {"0300000000" + "02" + "0b01" + "22692d3031", new(*MalformedError)},
		"out of order":                 {"0300000000" + "02" + "0b02" + "0b01", new(*MalformedError)},
		"neither leaving nor loaded":   {"0300000000" + "01" + "0901", new(*MalformedError)},
		"empty load":                   {"0300000000" + "01" + "0d01" + "00", new(*MalformedError)},
		"malformed load":               {"0300000000" + "01" + "0d01" + "ffffffff7f", new(*placement.EncodingError)},
		"bytes after the end":          {"030000000000" + "00", new(*MalformedError)},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, err := hex.DecodeString(ca.in)
			g.Expect(err).NotTo(HaveOccurred())
			st, err := Decode(b)
			g.Expect(errors.As(err, ca.want)).To(BeTrue(), "%v", err)
			g.Expect(err.Error()).To(HavePrefix("decode state: "))
			g.Expect(st).To(Equal(State{}))
		})
	}
}

func TestEncodeRejectsTooManyTargets(t *testing.T) {
	g := NewWithT(t)
	var st State
	for no := range maxTargets + 1 {
		st.Leaving = append(st.Leaving, fmt.Sprintf("i-%08x", no))
	}
	_, err := st.Encode()
	var te *TooManyTargetsError
	g.Expect(errors.As(err, &te)).To(BeTrue())
	g.Expect(te.Targets).To(BeEquivalentTo(maxTargets + 1))
	st.Leaving = st.Leaving[1:]
	b, err := st.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	read, err := Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(st))
}

// TestDecodeBoundsAllocation guards against a state that makes decoding allocate without bound. It decodes the worst case: the maximum
// number of targets, each with a small load.
func TestDecodeBoundsAllocation(t *testing.T) {
	// maxAllocated is more than twice the size of a map of maxTargets incarnations and their loads.
	const maxAllocated = 16 << 20
	g := NewWithT(t)
	st := State{Loads: map[string]placement.Load{}}
	for no := range maxTargets {
		st.Loads[fmt.Sprintf("i-%04x", no)] = placement.Load{Decoding: 1}
	}
	b, err := st.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	read, err := Decode(b)
	runtime.ReadMemStats(&after)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Loads).To(HaveLen(maxTargets))
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes read, %d allocated", len(b), allocated)
	g.Expect(allocated).To(BeNumerically("<", uint64(maxAllocated)))
}

func TestMaxAgeCanBeSubtractedFromTime(t *testing.T) {
	g := NewWithT(t)
	b, err := State{Configuration: 1, ProofAge: time.Since(time.Time{})}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	st, err := Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.ProofAge).To(Equal(maxAge))
	now := time.Now()
	g.Expect(now.Add(-time.Hour - st.ProofAge)).To(BeTemporally("<", now))
}

func FuzzDecode(f *testing.F) {
	for _, st := range []State{{}, {Configuration: 7, ProofAge: time.Second}, typicalState(1), typicalState(2)} {
		b, err := st.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add([]byte(`{"c":1}`))
	f.Add([]byte{formatVersion, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		g := NewWithT(t)
		st, err := Decode(b)
		if err != nil {
			g.Expect(isDecodeError(err)).To(BeTrue(), "%v", err)
			return
		}
		again, err := st.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		read, err := Decode(again)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read).To(Equal(st))
	})
}
