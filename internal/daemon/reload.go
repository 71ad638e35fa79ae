package daemon

import (
	"os"
	ossignal "os/signal"
	"syscall"

	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
)

// reloadOnHangup reads the settings again at each SIGHUP, also during a graceful shutdown: the signal would end the process
// where nothing handled it.
func (d *Daemon) reloadOnHangup() {
	hangups := make(chan os.Signal, 1)
	ossignal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		d.reload()
	}
}

// reload reads the settings again. Only the log level changes while the daemon runs; an operator who changes another
// setting restarts it. Settings that are not accepted change nothing.
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
