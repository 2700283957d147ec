package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/errorbudget"
	"github.com/silvermount/silvermount/internal/signoff"
)

type burnCommand struct {
	*options `no-flag:"true"`
	platformOptions
	JSON bool   `long:"json" description:"print JSON"`
	Plot string `long:"plot" description:"file for a plot, SVG or PNG"`
}

// burnReport is the JSON output.
type burnReport struct {
	Rows   []errorbudget.WindowRate `json:"rows"`
	Alerts []errorbudget.Alert      `json:"alerts"`
	// Missing are the names of instances that did not reply.
	Missing []string `json:"missing"`
}

// Execute collects the request counts of all instances and prints the burn rates and alerts.
func (bc *burnCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	b, err := signoff.New(bc.store()).Accepted(ctx)
	if err != nil {
		return err
	}
	replies, err := bc.ops().BurnWindows(ctx)
	if err != nil {
		return err
	}
	var report burnReport
	var windows [][]errorbudget.Window
	for _, r := range replies {
		if r.Err != nil {
			report.Missing = append(report.Missing, r.Instance.Name)
			continue
		}
		windows = append(windows, r.Value)
	}
	report.Rows, report.Alerts = errorbudget.Report(errorbudget.Merge(windows...), b.Classes)
	if bc.Plot != "" {
		if err := errorbudget.Plot(bc.Plot, report.Rows); err != nil {
			return err
		}
	}
	return bc.print(report)
}

func (bc *burnCommand) print(report burnReport) error {
	if bc.JSON {
		enc := json.NewEncoder(bc.out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(report), "encode report")
	}
	tw := tabwriter.NewWriter(bc.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tWINDOW\tREQUESTS\tMISSED\tBURN RATE")
	for _, r := range report.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%.2f\n", r.Class, r.Length, r.Count.Total, r.Count.Missed, r.Rate)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	for _, a := range report.Alerts {
		fmt.Fprintf(bc.out, "ALERT class %s burns at %.1f times its budget; a full budget ends in %s\n", a.Class, a.Rate, a.BudgetExhaustedIn.Round(time.Minute))
	}
	for _, m := range report.Missing {
		fmt.Fprintf(bc.out, "instance %s did not reply and is not counted\n", m)
	}
	return nil
}
