package daemon

import (
	"os"
	ossignal "os/signal"
	"syscall"

	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
)

// reloadOnHangup reloads the settings at each SIGHUP and never returns. It handles the signal also during a graceful
// shutdown, because an unhandled SIGHUP would kill the process.
func (d *Daemon) reloadOnHangup() {
	hangups := make(chan os.Signal, 1)
	ossignal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		d.reload()
	}
}

// reload reads the settings file again and applies the log level, the only setting that can change while the daemon
// runs; other settings need a restart. An invalid file or level is logged and changes nothing.
func (d *Daemon) reload() {
	s, err := settings.Load(d.settings.File)
	if err == nil {
		err = d.log.SetLevel(s.Log.Level)
	}
	if err != nil {
		d.log.Log(events.SettingsReloaded, "nothing", err.Error())
		return
	}
	d.log.Log(events.SettingsReloaded, "log level", nil)
}
