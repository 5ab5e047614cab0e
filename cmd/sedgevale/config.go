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

// controlFlags name a core scheduler by the address at which operators call it.
type controlFlags struct {
	Control string `arg:"--control,required" placeholder:"HOST:PORT" help:"A core scheduler's control_plane address."`
}

func (f controlFlags) call(method, baseVersion string, body io.Reader) error {
	return call(method, "http://"+f.Control+"/sedgevale/config", "", baseVersion, body)
}

type configGetCmd struct{ controlFlags }

// Run prints the newest configuration.
func (c configGetCmd) Run() error { return c.call(http.MethodGet, "", nil) }

type configPutCmd struct {
	controlFlags
	On   string `arg:"--on,required" placeholder:"VERSION" help:"The version that it replaces, 0 for the first."`
	File string `arg:"positional" help:"The configuration; standard input without it."`
}

// Run replaces the configuration.
func (c configPutCmd) Run() error {
	return withInput(c.File, func(body io.Reader) error { return c.call(http.MethodPut, c.On, body) })
}

type configPatchCmd struct {
	controlFlags
	On   string `arg:"--on,required" placeholder:"VERSION" help:"The version that it changes."`
	File string `arg:"positional" help:"The patch; standard input without it."`
}

// Run changes named items of the configuration.
func (c configPatchCmd) Run() error {
	return withInput(c.File, func(body io.Reader) error { return c.call(http.MethodPatch, c.On, body) })
}

type configCheckCmd struct {
	File string `arg:"positional" help:"The configuration; standard input without it."`
}

// Run checks a configuration.
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
