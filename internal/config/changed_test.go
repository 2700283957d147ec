package config

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func sampleSettings() Settings {
	return Settings{
		Instance: "a1", AvailabilityZone: "a",
		Callers: Callers{Listen: "127.0.0.1:1", MaxBodyBytes: 5},
		Peers:   Peers{Seeds: []string{"127.0.0.1:2", "127.0.0.1:3"}},
		Stop:    Stop{Drain: Duration(time.Second)},
		Gateway: &Gateway{Grace: Duration(time.Second), RetryShare: 0.5},
	}
}

func TestChanged(t *testing.T) {
	tests := map[string]struct {
		edit func(*Settings)
		want []string
	}{
		"no change":                        {func(*Settings) {}, nil},
		"value":                            {func(s *Settings) { s.Instance = "a2" }, []string{"instance"}},
		"value in a section":               {func(s *Settings) { s.Stop.Drain++ }, []string{"stop.drain"}},
		"several, sorted":                  {func(s *Settings) { s.Stop.Drain, s.AvailabilityZone, s.Callers.MaxBodyBytes = 0, "b", 6 }, []string{"availability_zone", "callers.max_body_bytes", "stop"}},
		"entry of a list":                  {func(s *Settings) { s.Peers.Seeds = []string{"127.0.0.1:2", "127.0.0.1:4"} }, []string{"peers.seeds"}},
		"list removed":                     {func(s *Settings) { s.Peers.Seeds = nil }, []string{"peers"}},
		"optional value added":             {func(s *Settings) { s.Callers.Advertise = "127.0.0.1:9" }, []string{"callers.advertise"}},
		"value of the gateway":             {func(s *Settings) { s.Gateway = &Gateway{Grace: s.Gateway.Grace} }, []string{"gateway.retry_share"}},
		"equal gateway at another pointer": {func(s *Settings) { gw := *s.Gateway; s.Gateway = &gw }, nil},
		"gateway removed":                  {func(s *Settings) { s.Gateway = nil }, []string{"gateway"}},
		"section added":                    {func(s *Settings) { s.Routing.Policy = "x" }, []string{"routing"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			after := sampleSettings()
			tc.edit(&after)
			g.Expect(Changed(sampleSettings(), after)).To(Equal(tc.want))
			g.Expect(Changed(after, sampleSettings())).To(Equal(tc.want))
		})
	}
}
