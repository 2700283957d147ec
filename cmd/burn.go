package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/burn"
	"github.com/silvermount/silvermount/internal/signoff"
)

type burnCommand struct {
	*options `no-flag:"true"`
	platformOptions
	JSON bool   `long:"json" description:"print JSON"`
	Plot string `long:"plot" description:"file for a plot, SVG or PNG"`
}

// burnReport is the JSON form.
type burnReport struct {
	Rows   []burn.WindowRate `json:"rows"`
	Alerts []burn.Alert      `json:"alerts"`
	// Missing are instances that could not be asked.
	Missing []string `json:"missing"`
}

// Execute prints the report.
func (bc *burnCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), bundleLimit)
	defer cancel()
	b, err := signoff.New(bc.store()).Accepted(ctx)
	if err != nil {
		return err
	}
	replies, err := bc.ops().BurnWindows(ctx)
	if err != nil {
		return err
	}
	var rp burnReport
	var all [][]burn.Window
	for _, r := range replies {
		if r.Err != nil {
			rp.Missing = append(rp.Missing, r.Instance.Name)
			continue
		}
		all = append(all, r.Value)
	}
	rp.Rows, rp.Alerts = burn.Report(burn.Merge(all...), b.Classes)
	if bc.Plot != "" {
		if err := burn.Plot(bc.Plot, rp.Rows); err != nil {
			return err
		}
	}
	return bc.print(rp)
}

func (bc *burnCommand) print(rp burnReport) error {
	if bc.JSON {
		enc := json.NewEncoder(bc.out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(rp), "encode report")
	}
	tw := tabwriter.NewWriter(bc.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tWINDOW\tREQUESTS\tMISSED\tBURN RATE")
	for _, r := range rp.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%.2f\n", r.Class, r.Length, r.Count.Total, r.Count.Missed, r.Rate)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	for _, a := range rp.Alerts {
		fmt.Fprintf(bc.out, "ALERT class %s burns at %.1f times its budget; a full budget ends in %s\n", a.Class, a.Rate, a.BudgetExhaustedIn.Round(time.Minute))
	}
	for _, m := range rp.Missing {
		fmt.Fprintf(bc.out, "instance %s could not be asked and is not counted\n", m)
	}
	return nil
}
