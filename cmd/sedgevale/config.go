package main

import (
	"fmt"
	"io"
	"net/http"

	"sedgevale/internal/system/clusterconfig"
)

// configCmd reads, changes or checks the configuration of a running system.
type configCmd struct {
	Get   *configGetCmd   `arg:"subcommand:get" help:"Print the newest configuration."`
	Put   *configPutCmd   `arg:"subcommand:put" help:"Replace the configuration."`
	Patch *configPatchCmd `arg:"subcommand:patch" help:"Change named items."`
	Check *configCheckCmd `arg:"subcommand:check" help:"Check that a configuration is valid, without a running system."`
}

// controlFlags select a core scheduler by its control_plane address.
type controlFlags struct {
	Control string `arg:"--control,required" placeholder:"HOST:PORT" help:"A core scheduler's control_plane address."`
}

func (f controlFlags) call(method, baseVersion string, body io.Reader) error {
	return callHTTP(method, "http://"+f.Control+"/sedgevale/config", "", baseVersion, body)
}

// configGetCmd prints the newest configuration.
type configGetCmd struct{ controlFlags }

// Run requests the configuration and prints it.
func (c configGetCmd) Run() error { return c.call(http.MethodGet, "", nil) }

// configPutCmd replaces the configuration of a given version.
type configPutCmd struct {
	controlFlags
	On   string `arg:"--on,required" placeholder:"VERSION" help:"The version that it replaces, 0 for the first."`
	File string `arg:"positional" help:"The configuration; standard input without it."`
}

// Run sends the new configuration and prints the response.
func (c configPutCmd) Run() error {
	return withInput(c.File, func(body io.Reader) error { return c.call(http.MethodPut, c.On, body) })
}

// configPatchCmd changes named items of a configuration of a given version.
type configPatchCmd struct {
	controlFlags
	On   string `arg:"--on,required" placeholder:"VERSION" help:"The version that it changes."`
	File string `arg:"positional" help:"The patch; standard input without it."`
}

// Run sends the patch and prints the response.
func (c configPatchCmd) Run() error {
	return withInput(c.File, func(body io.Reader) error { return c.call(http.MethodPatch, c.On, body) })
}

// configCheckCmd validates a configuration without a running system.
type configCheckCmd struct {
	File string `arg:"positional" help:"The configuration; standard input without it."`
}

// Run validates a configuration and prints how many routes and services it has.
func (c configCheckCmd) Run() error { return withInput(c.File, c.check) }

func (c configCheckCmd) check(in io.Reader) error {
	text, err := io.ReadAll(in)
	if err != nil {
		return err
	}
	config, err := clusterconfig.Parse(text)
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", inputName(c.File), err)
	}
	_, err = fmt.Printf("%s: good: version %d, %d routes, %d services\n",
		inputName(c.File), config.Version, len(config.Routes), len(config.Services))
	return err
}
