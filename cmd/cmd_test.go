package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/standin/enginesim"
)

// run runs a command line as main does.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func write(t *testing.T, name string, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), name)
	g.Expect(os.WriteFile(file, b, 0o600)).To(Succeed())
	return file
}

func TestCommands(t *testing.T) {
	good := write(t, "entry.json", starter())
	bad := starter()
	bad.Callers.Listen, bad.Routing.Policy, bad.Operators.Key = "localhost", "none", "short"
	faulty := write(t, "faulty.json", bad)
	bundleFile := write(t, "bundle.json", localfleet.DefaultBundle())
	slow := localfleet.DefaultBundle()
	slow.Classes[0].Deadline = slow.Classes[2].Deadline
	slowFile := write(t, "slow.json", slow)
	broken := write(t, "broken.json", bundle.Bundle{})
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"version":                   {args: []string{"version"}, want: []string{"silvermount"}},
		"init":                      {args: []string{"init"}, want: []string{`"policy"`, `"peers"`}},
		"init of a gateway":         {args: []string{"init", "--role", "gateway"}, want: []string{`"gateway"`, `"retry_share"`}},
		"schema":                    {args: []string{"schema"}, want: []string{`"long_share"`, `"gateway"`, `"revocation_bound"`}},
		"check":                     {args: []string{"check", good}, want: []string{"settings are good"}},
		"check, all faults at once": {args: []string{"check", faulty}, code: exitUsage, want: []string{"callers.listen", "routing.policy", "operators.key"}},
		"check with a bundle":       {args: []string{"check", good, "--bundle", bundleFile}, want: []string{"settings are good"}},
		"a stop that cannot be":     {args: []string{"check", good, "--bundle", slowFile}, code: exitUsage, want: []string{"classes.call.deadline"}},
		"bundle check":              {args: []string{"bundle", "check", bundleFile}, want: []string{"bundle is good"}},
		"bundle check, faults":      {args: []string{"bundle", "check", broken}, code: exitUsage, want: []string{"classes"}},
		"no such command":           {args: []string{"nothing"}, code: exitUsage},
		"no such file":              {args: []string{"check", "missing.json"}, code: exitFail, want: []string{"missing.json"}},
		"no such stand-in":          {args: []string{"standin", "moon"}, code: exitFail, want: []string{"no stand-in moon"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errOut := run(tc.args...)
			g.Expect(code).To(Equal(tc.code), errOut)
			for _, want := range tc.want {
				g.Expect(out + errOut).To(ContainSubstring(want))
			}
		})
	}
}

// TestOperatorsDay rolls bundles over a running fleet, as docs/OPERATIONS.md has it.
func TestOperatorsDay(t *testing.T) {
	g := NewWithT(t)
	params := enginesim.DefaultParams()
	params.Scale = 200
	lf, err := localfleet.Start(t.Context(), localfleet.Options{
		Zones: 1, Engines: 1, Instances: 2, EngineParams: params, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer lf.Close(t.Context())
	b := localfleet.DefaultBundle()
	b.Services = append(b.Services, "pumps")
	reach := []string{"--platform", lf.StoreURL, "--operator-key", localfleet.OperatorKey}
	code, out, errOut := run(append([]string{"bundle", "roll", write(t, "b.json", b)}, reach...)...)
	g.Expect(code).To(Equal(exitOK), errOut)
	g.Expect(out).To(And(ContainSubstring("+ service pumps"), ContainSubstring("in force at 2 instances")))
	code, out, _ = run(append([]string{"bundle", "status"}, reach...)...)
	g.Expect(code).To(Equal(exitOK))
	g.Expect(out).To(MatchRegexp(`entry-00 +a +2 +0 +true +1 of 1`))
	// Two bundles on top of the same version: the second sign-off is refused and names the winner.
	for _, name := range []string{"wells", "tanks"} {
		b.Services = []string{localfleet.Service, name}
		code, _, errOut = run(append([]string{"bundle", "push", write(t, "b.json", b)}, reach...)...)
		g.Expect(code).To(Equal(exitOK), errOut)
	}
	code, _, errOut = run(append([]string{"bundle", "sign", "4"}, reach...)...)
	g.Expect(code).To(Equal(exitOK), errOut)
	code, _, errOut = run(append([]string{"bundle", "sign", "3"}, reach...)...)
	g.Expect(code).To(Equal(exitFail))
	g.Expect(errOut).To(ContainSubstring("version 4"))
	results := filepath.Join(t.TempDir(), "results.json")
	code, out, errOut = run("load", "--url", lf.URLs()[0], "--key", localfleet.CallerKey, "--model", localfleet.Model,
		"--rate", "20", "--length", "500ms", "--burst", "5", "--long-share", "0", "--output", "2", "--json", results)
	g.Expect(code).To(Equal(exitOK), errOut)
	g.Expect(out).To(ContainSubstring("first token p50"))
	code, out, _ = run(append([]string{"burn", "--plot", filepath.Join(t.TempDir(), "burn.svg")}, reach...)...)
	g.Expect(code).To(Equal(exitOK))
	g.Expect(out).To(MatchRegexp(`call +5m0s +\d+ +0 +0.00`))
}
