//go:build review

package review_test

import (
	"os"
	"os/exec"
	"testing"
)

// TestReviewCases runs the scripts of the review. Each fails while its fault is there, and passes without its disruption. It needs the build
// of the deploy file and build.sh.
func TestReviewCases(t *testing.T) {
	for _, number := range []string{"1", "2", "3", "4"} {
		t.Run(number, func(t *testing.T) {
			for _, trouble := range []string{"0", "1"} {
				script := exec.Command("./" + number + "/run.sh")
				script.Env = append(os.Environ(), "TROUBLE="+trouble)
				if out, err := script.CombinedOutput(); err != nil {
					t.Errorf("TROUBLE=%s: %v\n%s", trouble, err, out)
				}
			}
		})
	}
}
