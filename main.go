// Package main is the silvermount command.
package main

import (
	"os"

	"github.com/silvermount/silvermount/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
