package cmds

// fleetCommands are the commands about pools and waves.
type fleetCommands struct{}

// fleetShows are the queries about pools and waves.
type fleetShows struct{}
