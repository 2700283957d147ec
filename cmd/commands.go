package cmd

// commands are all subcommands, in the order of registration.
var commands = []command{
	{"entry", "run an entry instance", func(op *options) any { return &entryCommand{options: op} }},
	{"bundle", "check, push, sign, roll and show bundles", func(op *options) any { return newBundleCommand(op) }},
	{"burn", "show how fast each class consumes its error budget", func(op *options) any { return &burnCommand{options: op} }},
	{"demo", "run a small fleet in one process and send it a burst", func(op *options) any { return &demoCommand{options: op} }},
	{"init", "print settings to start from", func(op *options) any { return &initCommand{options: op} }},
	{"check", "check a settings file", func(op *options) any { return &checkCommand{options: op} }},
	{"schema", "print the JSON schema of settings", func(op *options) any { return &schemaCommand{options: op} }},
	{"load", "send arrivals to instances and measure the answers", func(op *options) any { return &loadCommand{options: op} }},
	{"slopes", "measure how the cost of control grows with the fleet", func(op *options) any { return &slopesCommand{options: op} }},
	{"standin", "run a stand-in of an outside system", func(op *options) any { return &standinCommand{options: op} }},
	{"experiment", "measure routing policies on the same arrivals", func(op *options) any { return &experimentCommand{options: op} }},
	{"losses", "sum up from log lines on standard input what became of all requests", func(op *options) any { return &lossesCommand{options: op} }},
	{"propagation", "tell from log lines on standard input how long changes took to reach all instances", func(op *options) any { return &propagationCommand{options: op} }},
	{"explain", "tell from log lines on standard input what happened to a request", func(op *options) any { return &explainCommand{options: op} }},
	{"version", "print the version", func(op *options) any { return &versionCommand{options: op} }},
}
