package main

import "trefoilthread/io/setup"

// The text around the generated tables of docs/settings.md.
const (
	referenceHead = `# Settings of a daemon

This page is generated: ` + "`trefoilthread check --print-reference > docs/settings.md`" + `.

A daemon reads one INI file at its start. ` + "`trefoilthread check FILE`" + ` reports all faults of a file
together, with line, section and key. A key without a default has to be given. Any other key or section is
a fault.
`
	referenceTail = `
## [operators]

One line for each operator, ` + "`name = SHA-256 of the token`" + ` (64 hexadecimal digits), as
` + "`trefoilthread keys token`" + ` prints it. The name appears in the history of changes. Without this section no
operator can use this daemon.
`
)

// reference returns the page docs/settings.md.
func reference() string { return referenceHead + setup.Reference() + referenceTail }
