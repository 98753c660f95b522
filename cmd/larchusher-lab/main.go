// Command larchusher-lab runs experiments with larchusher: fake servers, load, fault injection and simulations. It is a separate
// program, so that its dependencies use no memory in the gateway; "larchusher lab" executes it.
package main

import (
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// cli lists the sub-commands.
type cli struct {
	Up    upCmd    `cmd:"" help:"Start a gateway with fake servers, ask for some objects, and show what came from where."`
	Load  loadCmd  `cmd:"" help:"Drive an open-loop load against a gateway, and print what came of it."`
	Model modelCmd `cmd:"" help:"Compare ways of overload control in simulated time."`

	Get  getCmd  `cmd:"" help:"Read an object from gateways to standard output."`
	Ping pingCmd `cmd:"" help:"Ask gateways for a part, again and again, and say how each call ended."`

	Deaths     deathsCmd     `cmd:"" help:"Kill real gateways under real clients, and say what the living ones saw."`
	Zones      zonesCmd      `cmd:"" help:"Have zones go dark and come back, in simulated time or with real gateways."`
	Scene      sceneCmd      `cmd:"" help:"Play a scene of zones from a file, or a sweep over it, in simulated time."`
	Compare    compareCmd    `cmd:"" help:"Hold the model against real gateways on the same scene."`
	Procs      procsCmd      `cmd:"" help:"Play plots of faults over several real gateways that settle work on machines."`
	Population populationCmd `cmd:"" help:"Play tens of thousands of clients through a death of gateways, in simulated time."`
}

func main() {
	debug.SetGCPercent(800) // fewer collections: their pauses would be measured as latency of the gateway
	ctx := kong.Parse(&cli{}, kong.Name("larchusher lab"), kong.Description("Experiments on loopback."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
