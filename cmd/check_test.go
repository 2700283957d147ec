package cmd

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/localfleet"
)

// writeText writes a settings file with the given content and returns its path.
func writeText(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

// TestCheckReportsAllFaults checks files with faults that are found in decoding and faults that the duties find.
func TestCheckReportsAllFaults(t *testing.T) {
	tests := map[string]struct {
		text string
		// want are the paths of all faults, in the order in which they are printed.
		want []string
	}{
		"entry": {
			text: `{"instance":"entry-1","availability_zone":"a","lag":1,
				"callers":{"listen":"localhost","header_timeout":"soon"},
				"operators":{"listen":"127.0.0.1:8081","key":"short","keys":[]},
				"peers":{"listen":7,"secret":"change-this-peer-secret"},
				"platform":{"url":"http://127.0.0.1:7000"},"routing":{"long_share":2,"max_attempts":"x"}}`,
			want: []string{
				"callers.header_timeout", "lag", "operators.keys", "peers.listen", "routing.max_attempts",
				"callers.listen", "routing.long_share", "operators.key",
			},
		},
		"gateway": {
			text: `{"instance":"gateway-1","gateway":{"adapter":"platform","callers":"127.0.0.1:8080","readiness":8081,
				"peers":"127.0.0.1:8082","metrics":"127.0.0.1:8083","stor":"127.0.0.1:7000","grace":"8","retry_share":1.5,
				"seeds":["127.0.0.1:1",2,"b"],"body_budget_bytes":1}}`,
			want: []string{
				"gateway.grace", "gateway.readiness", "gateway.seeds[1]", "gateway.stor",
				"availability_zone", "gateway.store", "gateway.seeds[2]", "gateway.retry_share", "gateway.body_budget_bytes",
			},
		},
		"gateway that is not an object": {
			text: `{"instance":"gateway-1","availability_zone":"a","gateway":"platform"}`, want: []string{"gateway"},
		},
		"not JSON": {text: `{"instance":`, want: []string{"(document)"}},
		"a list":   {text: `[]`, want: []string{"(document)"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errOut := runCommand("check", writeText(t, tc.text))
			g.Expect(code).To(Equal(exitUsage))
			g.Expect(out).To(BeEmpty())
			var paths []string
			for line := range strings.Lines(errOut) {
				path, _, _ := strings.Cut(line, ": ")
				paths = append(paths, path)
			}
			g.Expect(paths).To(Equal(tc.want))
		})
	}
}

// withField returns the JSON of settings with one more field.
func withField(t *testing.T, s config.Settings, name string) string {
	t.Helper()
	g := NewWithT(t)
	b, err := json.Marshal(s)
	g.Expect(err).NotTo(HaveOccurred())
	var object map[string]any
	g.Expect(json.Unmarshal(b, &object)).To(Succeed())
	object[name] = 1
	b, err = json.Marshal(object)
	g.Expect(err).NotTo(HaveOccurred())
	return string(b)
}

// TestUnknownFieldIsRefused checks that both commands refuse settings whose only fault is an unknown field.
func TestUnknownFieldIsRefused(t *testing.T) {
	for name, s := range map[string]config.Settings{"entry": entryTemplate(), "gateway": gatewayTemplate()} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			file := writeText(t, withField(t, s, "instance_name"))
			const want = "instance_name: found \"unknown field\", want a known one; the nearest is instance\n"
			for _, args := range [][]string{{"check", file}, {"entry", "--settings", file}} {
				code, out, errOut := runCommand(args...)
				g.Expect(code).To(Equal(exitUsage))
				g.Expect(out).To(BeEmpty())
				g.Expect(errOut).To(Equal(want))
			}
		})
	}
}

// TestCheckWithBundleAfterDecodeFaults checks which faults of a bundle are reported with settings that do not decode.
func TestCheckWithBundleAfterDecodeFaults(t *testing.T) {
	slowBundle := localfleet.DefaultBundle()
	slowBundle.Classes[0].Deadline = slowBundle.Classes[2].Deadline
	slowFile := writeJSON(t, "slow.json", slowBundle)
	broken := writeText(t, `{}`)
	tests := map[string]struct {
		text, bundle string
		want         []string
		without      string
	}{
		"valid drain":        {text: `{"lag":1}`, bundle: slowFile, want: []string{"lag: ", "classes.call.deadline: "}},
		"invalid drain":      {text: `{"stop":{"drain":5}}`, bundle: slowFile, want: []string{"stop.drain: "}, without: "classes"},
		"bundle with faults": {text: `{"lag":1}`, bundle: broken, want: []string{"lag: ", "classes"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			code, _, errOut := runCommand("check", writeText(t, tc.text), "--bundle", tc.bundle)
			g.Expect(code).To(Equal(exitUsage))
			for _, want := range tc.want {
				g.Expect(errOut).To(ContainSubstring(want))
			}
			if tc.without != "" {
				g.Expect(errOut).NotTo(ContainSubstring(tc.without))
			}
		})
	}
}

// TestInitPassesTheCheck checks the settings that init prints for each role.
func TestInitPassesTheCheck(t *testing.T) {
	tests := map[string]struct {
		args    []string
		role    config.Role
		without string
	}{
		"default": {args: []string{"init"}, role: config.RoleEntry, without: `"gateway"`},
		"entry":   {args: []string{"init", "--role", "entry"}, role: config.RoleEntry, without: `"gateway"`},
		"gateway": {args: []string{"init", "--role", "gateway"}, role: config.RoleGateway, without: `"routing"`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errOut := runCommand(tc.args...)
			g.Expect(code).To(Equal(exitOK), errOut)
			g.Expect(out).NotTo(ContainSubstring(tc.without))
			s, err := config.Parse([]byte(out))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Role()).To(Equal(tc.role))
			code, out, errOut = runCommand("check", writeText(t, out))
			g.Expect(code).To(Equal(exitOK), errOut)
			g.Expect(out).To(Equal("settings are good\n"))
		})
	}
	g := NewWithT(t)
	code, _, _ := runCommand("init", "--role", "none")
	g.Expect(code).To(Equal(exitUsage))
}
