package quarantine_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/quarantine"
)

func sampleSnapshot(now time.Time) quarantine.Snapshot {
	return quarantine.Snapshot{
		Evidence: []quarantine.Evidence{
			{Fingerprint: request("a"), Run: 7, Incarnation: "i-1@x", Elapsed: shortRun, At: now.Add(-time.Second)},
			{Fingerprint: fingerprint.OfPart("ab12"), Run: 7, Incarnation: "i-1@x", Elapsed: longRun, Answering: true, At: now},
		},
		Tombstones: []quarantine.Tombstone{
			{Fingerprint: request("b"), At: now.Add(-2 * time.Second)},
			{Fingerprint: request("c"), At: now.Add(-time.Minute), ByOperator: true, Until: now.Add(time.Minute)},
		},
		Quarantines: []quarantine.Quarantine{
			{
				Members: []fingerprint.Fingerprint{request("d"), fingerprint.OfPart("ab12"), fingerprint.OfOrganisation("red")},
				Crashes: 4, Level: 2, EvidenceFrom: now.Add(-2 * time.Hour), Since: now.Add(-time.Hour), Until: now.Add(time.Hour),
			},
		},
		ActiveRuns: []quarantine.ActiveRunSummary{{Fingerprint: request("e"), Since: now.Add(-3 * time.Second)}},
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	for _, sn := range []quarantine.Snapshot{{}, sampleSnapshot(now)} {
		got, err := quarantine.Decode(sn.Encode(now), now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(sn))
	}
}

func TestDecodeRejectsMalformedSnapshots(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	whole := sampleSnapshot(now).Encode(now)
	cases := map[string]struct {
		bytes []byte
		// version is set when a VersionError is expected; otherwise a MalformedError is.
		version bool
	}{
		"nothing":                            {nil, false},
		"another version":                    {[]byte{9}, true},
		"too many entries":                   {[]byte{2, 0xff, 0xff, 0x7f}, false},
		"name too long":                      {append(append([]byte{2, 1}, make([]byte, 22)...), 0xff, 0x7f), false},
		"previous version, too many entries": {[]byte{1, 0xff, 0xff, 0x7f}, false},
		"previous version, name too long":    {append(append([]byte{1, 1}, make([]byte, 20)...), 0xff, 0x7f), false},
		"no members":                         {[]byte{2, 0, 0, 1, 0, 0, 0, 0, 0, 0}, false},
		"trailing bytes":                     {append(bytes.Clone(whole), 0), false},
		"truncated list":                     {whole[:len(whole)-1], false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := quarantine.Decode(tc.bytes, now)
			var ve *quarantine.VersionError
			g.Expect(errors.As(err, &ve)).To(Equal(tc.version))
			var me *peercodec.MalformedError
			g.Expect(errors.As(err, &me)).To(Equal(!tc.version))
		})
	}
	for cut := range whole {
		_, err := quarantine.Decode(whole[:cut], now)
		NewWithT(t).Expect(err).To(HaveOccurred(), "cut after %d bytes", cut)
	}
}

// FuzzDecode checks that a snapshot decoded from arbitrary bytes survives another round trip.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1_000_000, 0)
	f.Add(quarantine.Snapshot{}.Encode(now))
	f.Add(sampleSnapshot(now).Encode(now))
	f.Fuzz(func(t *testing.T, b []byte) {
		sn, err := quarantine.Decode(b, now)
		if err != nil {
			return
		}
		again, err := quarantine.Decode(sn.Encode(now), now)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(sn))
	})
}
