package cmd

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/silvermount/silvermount/internal/signoff"
)

const (
	// bundleTimeout limits the duration of each bundle command and of burn.
	bundleTimeout = 30 * time.Second
	// rollPollInterval is the interval at which roll polls the instances.
	rollPollInterval = 100 * time.Millisecond
)

// bundleCommand groups the subcommands that operate on bundles.
type bundleCommand struct {
	Check  bundleCheck  `command:"check" description:"check a bundle file"`
	Push   bundlePush   `command:"push" description:"write a bundle to the store and show what it changes"`
	Sign   bundleSign   `command:"sign" description:"have every instance prepare a pushed bundle, then accept it"`
	Roll   bundleRoll   `command:"roll" description:"push, sign and wait until the bundle is in force everywhere"`
	Status bundleStatus `command:"status" description:"show which version is in force at which instance"`
}

func newBundleCommand(op *options) *bundleCommand {
	return &bundleCommand{
		Check: bundleCheck{options: op}, Push: bundlePush{options: op}, Sign: bundleSign{options: op},
		Roll: bundleRoll{options: op}, Status: bundleStatus{options: op},
	}
}

// fileArg is the positional argument that names a bundle file.
type fileArg struct {
	File string `positional-arg-name:"FILE" required:"true"`
}

type bundleCheck struct {
	*options `no-flag:"true"`
	Args     fileArg `positional-args:"true" required:"true"`
}

// Execute checks the bundle file.
func (bc *bundleCheck) Execute([]string) error {
	if _, err := readBundle(bc.Args.File); err != nil {
		return err
	}
	fmt.Fprintln(bc.out, "bundle is good")
	return nil
}

type bundlePush struct {
	*options `no-flag:"true"`
	platformOptions
	Args fileArg `positional-args:"true" required:"true"`
}

// Execute pushes the bundle file.
func (bp *bundlePush) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	_, err := pushBundle(ctx, bp.options, &bp.platformOptions, bp.Args.File)
	return err
}

// pushBundle writes a bundle file to the store, prints the differences from the accepted bundle, and returns the version.
func pushBundle(ctx context.Context, op *options, po *platformOptions, file string) (int64, error) {
	b, err := readBundle(file)
	if err != nil {
		return 0, err
	}
	client := signoff.New(po.store())
	accepted, err := client.Accepted(ctx)
	if err != nil {
		return 0, err
	}
	for _, line := range signoff.Diff(accepted, b) {
		fmt.Fprintln(op.out, line)
	}
	version, err := client.Push(ctx, b)
	if err == nil {
		fmt.Fprintf(op.out, "pushed as version %d on top of %d\n", version, accepted.Version)
	}
	return version, err
}

type bundleSign struct {
	*options `no-flag:"true"`
	platformOptions
	Force bool `long:"force" description:"accept although an instance cannot be asked or finds a fault"`
	Args  struct {
		Version int64 `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute accepts the version.
func (bs *bundleSign) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	return acceptBundle(ctx, bs.options, &bs.platformOptions, bs.Args.Version, bs.Force)
}

// NotPreparedError means that a bundle was not accepted because some instances did not prepare it.
type NotPreparedError struct {
	// Failures are the names of these instances with their errors.
	Failures []string
}

// Error lists the failures.
func (np *NotPreparedError) Error() string {
	return fmt.Sprintf("bundle not accepted: %d instances are not prepared: %v", len(np.Failures), np.Failures)
}

// acceptBundle asks every instance to prepare a pushed bundle and then accepts it. If some instances fail to prepare it, the bundle is
// accepted only with force.
func acceptBundle(ctx context.Context, op *options, po *platformOptions, version int64, force bool) error {
	replies, err := po.ops().Prepare(ctx, version)
	if err != nil {
		return err
	}
	var failures []string
	for _, r := range replies {
		switch {
		case r.Err != nil:
			failures = append(failures, r.Instance.Name+": "+r.Err.Error())
		case r.Value.Fault != "":
			failures = append(failures, r.Instance.Name+": "+r.Value.Fault)
		}
	}
	if len(failures) > 0 && !force {
		return &NotPreparedError{Failures: failures}
	}
	if err := signoff.New(po.store()).Accept(ctx, version); err != nil {
		return err
	}
	fmt.Fprintf(op.out, "version %d is accepted, prepared by %d of %d instances\n", version, len(replies)-len(failures), len(replies))
	return nil
}

type bundleRoll struct {
	*options `no-flag:"true"`
	platformOptions
	Force bool    `long:"force" description:"accept although an instance cannot be asked or finds a fault"`
	Args  fileArg `positional-args:"true" required:"true"`
}

// Execute pushes and accepts the bundle file, and waits until it is in force at all instances.
func (br *bundleRoll) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	version, err := pushBundle(ctx, br.options, &br.platformOptions, br.Args.File)
	if err != nil {
		return err
	}
	if err := acceptBundle(ctx, br.options, &br.platformOptions, version, br.Force); err != nil {
		return err
	}
	return br.waitInForce(ctx, version)
}

// RollIncompleteError means that a bundle was accepted but not in force at all instances before the timeout.
type RollIncompleteError struct {
	// Version is the accepted version.
	Version int64
	// Missing are the names of the instances at which it is not in force.
	Missing []string
}

// Error lists the instances.
func (ri *RollIncompleteError) Error() string {
	return "version " + strconv.FormatInt(ri.Version, 10) + " is accepted but not yet in force at " + fmt.Sprint(ri.Missing)
}

// waitInForce polls the instances until the version or a newer one is in force at all of them.
func (br *bundleRoll) waitInForce(ctx context.Context, version int64) error {
	start := time.Now()
	for {
		replies, err := br.ops().Statuses(ctx)
		var missing []string
		for _, r := range replies {
			if r.Err != nil || r.Value.BundleVersion < version {
				missing = append(missing, r.Instance.Name)
			}
		}
		if err == nil && len(missing) == 0 {
			fmt.Fprintf(br.out, "in force at %d instances after %s\n", len(replies), time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-time.After(rollPollInterval):
		case <-ctx.Done():
			return &RollIncompleteError{Version: version, Missing: missing}
		}
	}
}

type bundleStatus struct {
	*options `no-flag:"true"`
	platformOptions
}

// Execute prints the status of each instance as a table.
func (bs *bundleStatus) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	replies, err := bs.ops().Statuses(ctx)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(bs.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "INSTANCE\tZONE\tVERSION\tBEHIND\tREADY\tPEERS LIVE\tNOTE")
	for _, r := range replies {
		if r.Err != nil {
			fmt.Fprintf(tw, "%s\t%s\t?\t?\t?\t?\tno reply: %v\n", r.Instance.Name, r.Instance.AvailabilityZone, r.Err)
			continue
		}
		live := 0
		for _, p := range r.Value.Peers {
			if p.Live {
				live++
			}
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%t\t%d of %d\t\n", r.Value.Instance, r.Value.AvailabilityZone, r.Value.BundleVersion,
			r.Value.BundleBehind, r.Value.Ready, live, len(r.Value.Peers))
	}
	return tw.Flush()
}
