package cmds

// jobCommands are the commands about jobs.
type jobCommands struct{}

// jobShows are the queries about jobs.
type jobShows struct{}
