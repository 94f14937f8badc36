package main

// configCmd lists the commands about services.
type configCmd struct {
	Apply   applyCmd   `cmd:"" help:"Create or change the services of files."`
	Diff    diffCmd    `cmd:"" help:"Show what apply would change."`
	Get     getCmd     `cmd:"" help:"Print services as a file that apply takes."`
	History historyCmd `cmd:"" help:"List changes, newest first, with those that were refused."`
	Status  statusCmd  `cmd:"" help:"Show the version in force in each data centre."`
}
