// Package all registers all routing policies as a side effect of its import.
package all

import (
	// Each policy registers itself in its init function.
	_ "github.com/silvermount/silvermount/internal/policy/demand"
	_ "github.com/silvermount/silvermount/internal/policy/lanegrant"
	_ "github.com/silvermount/silvermount/internal/policy/lanes"
	_ "github.com/silvermount/silvermount/internal/policy/leastoutstanding"
	_ "github.com/silvermount/silvermount/internal/policy/leastwait"
	_ "github.com/silvermount/silvermount/internal/policy/owners"
	_ "github.com/silvermount/silvermount/internal/policy/peerwait"
	_ "github.com/silvermount/silvermount/internal/policy/roundrobin"
)
