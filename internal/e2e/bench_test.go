package e2e

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/standin/enginesim"
)

// BenchmarkCompletion sends small completions without streaming through one instance to four engines, all in this process.
// The allocations are those of caller, instance and engines together.
func BenchmarkCompletion(b *testing.B) {
	params := enginesim.DefaultParams()
	params.Speedup = 1e6
	lf, err := localfleet.Start(b.Context(), localfleet.Options{Zones: 1, Engines: 4, Instances: 1, EngineParams: params, Log: discardLogger()})
	if err != nil {
		b.Fatal(err)
	}
	defer lf.Close(b.Context())
	url, body := lf.URLs()[0]+"/v1/completions", completion("hello", 1, false)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+localfleet.CallerKey)
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
