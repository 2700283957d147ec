package frontend

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/routes"
)

func TestIdleLimit(t *testing.T) {
	tests := map[string]struct {
		maxConnections []int
		instances      int
		want           int
	}{
		"few instances keep the useful maximum":     {[]int{264, 96}, 6, 8},
		"many instances share the smallest maximum": {[]int{264, 96}, 24, 2},
		"service without a maximum":                 {[]int{0}, 90, 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			svs := map[string]routes.Service{}
			for i, mc := range tc.maxConnections {
				svs[string(rune('a'+i))] = routes.Service{MaxConnections: mc}
			}
			g.Expect(idleLimit(svs, tc.instances)).To(Equal(tc.want))
		})
	}
}
