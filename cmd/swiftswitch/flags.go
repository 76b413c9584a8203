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

// addWithdrawn makes name a hidden flag that is accepted with any number and
// changes nothing. Using it prints a note on standard error, which says why.
func addWithdrawn(flags *pflag.FlagSet, name, reason string) {
	flags.Float64(name, 0, "")
	flag := flags.Lookup(name)
	flag.Hidden = true
	flag.Deprecated = "it has no effect any more: " + reason
}
