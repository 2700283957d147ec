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

// runCommand runs a command line and returns its exit code and output.
func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

// writeJSON writes a value to a file in a temporary directory and returns its path.
func writeJSON(t *testing.T, name string, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), name)
	g.Expect(os.WriteFile(file, b, 0o600)).To(Succeed())
	return file
}

func TestCommands(t *testing.T) {
	validFile := writeJSON(t, "entry.json", entryTemplate())
	invalid := entryTemplate()
	invalid.Callers.Listen, invalid.Routing.Policy, invalid.Operators.Key = "localhost", "none", "short"
	faultyFile := writeJSON(t, "faulty.json", invalid)
	bundleFile := writeJSON(t, "bundle.json", localfleet.DefaultBundle())
	slowBundle := localfleet.DefaultBundle()
	slowBundle.Classes[0].Deadline = slowBundle.Classes[2].Deadline
	slowFile := writeJSON(t, "slow.json", slowBundle)
	emptyBundleFile := writeJSON(t, "broken.json", bundle.Bundle{})
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"version":                       {args: []string{"version"}, want: []string{"silvermount"}},
		"init":                          {args: []string{"init"}, want: []string{`"policy"`, `"peers"`}},
		"init of a gateway":             {args: []string{"init", "--role", "gateway"}, want: []string{`"gateway"`, `"retry_share"`}},
		"schema":                        {args: []string{"schema"}, want: []string{`"long_share"`, `"gateway"`, `"revocation_bound"`}},
		"check":                         {args: []string{"check", validFile}, want: []string{"settings are good"}},
		"check, all faults at once":     {args: []string{"check", faultyFile}, code: exitUsage, want: []string{"callers.listen", "routing.policy", "operators.key"}},
		"check with a bundle":           {args: []string{"check", validFile, "--bundle", bundleFile}, want: []string{"settings are good"}},
		"check, deadline exceeds drain": {args: []string{"check", validFile, "--bundle", slowFile}, code: exitUsage, want: []string{"classes.call.deadline"}},
		"bundle check":                  {args: []string{"bundle", "check", bundleFile}, want: []string{"bundle is good"}},
		"bundle check, faults":          {args: []string{"bundle", "check", emptyBundleFile}, code: exitUsage, want: []string{"classes"}},
		"no such command":               {args: []string{"nothing"}, code: exitUsage},
		"no such file":                  {args: []string{"check", "missing.json"}, code: exitFailure, want: []string{"missing.json"}},
		"no such stand-in":              {args: []string{"standin", "moon"}, code: exitFailure, want: []string{"no stand-in moon"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errOut := runCommand(tc.args...)
			g.Expect(code).To(Equal(tc.code), errOut)
			for _, want := range tc.want {
				g.Expect(out + errOut).To(ContainSubstring(want))
			}
		})
	}
}

// TestOperatorCommandsAgainstRunningFleet rolls out bundles, sends load and reads status and burn rates, as docs/OPERATIONS.md
// describes.
func TestOperatorCommandsAgainstRunningFleet(t *testing.T) {
	g := NewWithT(t)
	params := enginesim.DefaultParams()
	params.Speedup = 200
	lf, err := localfleet.Start(t.Context(), localfleet.Options{
		Zones: 1, Engines: 1, Instances: 2, EngineParams: params, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer lf.Close(t.Context())
	b := localfleet.DefaultBundle()
	b.Services = append(b.Services, "pumps")
	platformFlags := []string{"--platform", lf.StoreURL, "--operator-key", localfleet.OperatorKey}
	code, out, errOut := runCommand(append([]string{"bundle", "roll", writeJSON(t, "b.json", b)}, platformFlags...)...)
	g.Expect(code).To(Equal(exitOK), errOut)
	g.Expect(out).To(And(ContainSubstring("+ service pumps"), ContainSubstring("in force at 2 instances")))
	code, out, _ = runCommand(append([]string{"bundle", "status"}, platformFlags...)...)
	g.Expect(code).To(Equal(exitOK))
	g.Expect(out).To(MatchRegexp(`entry-00 +a +2 +0 +true +1 of 1`))
	// Two bundles are pushed on the same base. After one is accepted, accepting the other fails and names the accepted version.
	for _, name := range []string{"wells", "tanks"} {
		b.Services = []string{localfleet.Service, name}
		code, _, errOut = runCommand(append([]string{"bundle", "push", writeJSON(t, "b.json", b)}, platformFlags...)...)
		g.Expect(code).To(Equal(exitOK), errOut)
	}
	code, _, errOut = runCommand(append([]string{"bundle", "sign", "4"}, platformFlags...)...)
	g.Expect(code).To(Equal(exitOK), errOut)
	code, _, errOut = runCommand(append([]string{"bundle", "sign", "3"}, platformFlags...)...)
	g.Expect(code).To(Equal(exitFailure))
	g.Expect(errOut).To(ContainSubstring("version 4"))
	results := filepath.Join(t.TempDir(), "results.json")
	code, out, errOut = runCommand("load", "--url", lf.URLs()[0], "--key", localfleet.CallerKey, "--model", localfleet.Model,
		"--rate", "20", "--length", "500ms", "--burst", "5", "--long-share", "0", "--output", "2", "--json", results)
	g.Expect(code).To(Equal(exitOK), errOut)
	g.Expect(out).To(ContainSubstring("first token p50"))
	code, out, _ = runCommand(append([]string{"burn", "--plot", filepath.Join(t.TempDir(), "burn.svg")}, platformFlags...)...)
	g.Expect(code).To(Equal(exitOK))
	g.Expect(out).To(MatchRegexp(`call +5m0s +\d+ +0 +0.00`))
}
