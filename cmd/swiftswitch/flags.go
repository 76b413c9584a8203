package main

import (
	"github.com/spf13/pflag"
)

// addDeprecated makes old a hidden alias of the flag replacement, which must be
// defined already. Both set the same variable. Using the alias works, and
// prints a note on standard error.
func addDeprecated(flags *pflag.FlagSet, old, replacement string) {
	flag := flags.Lookup(replacement)
	flags.AddFlag(&pflag.Flag{
		Name:        old,
		Usage:       flag.Usage,
		Value:       flag.Value,
		DefValue:    flag.DefValue,
		NoOptDefVal: flag.NoOptDefVal,
		Hidden:      true,
		Deprecated:  "use --" + replacement,
	})
}
