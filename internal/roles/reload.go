package roles

import (
	"context"
	"log/slog"
	"os"
	"reflect"

	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

// ReloadOn reads the settings file again at each signal. A file that can't be
// used is logged and changes nothing.
func ReloadOn[S settings.Settings](ctx context.Context, path string, signals <-chan os.Signal, logger *slog.Logger) <-chan S {
	loads := make(chan S)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			loaded, err := settings.Load[S](path)
			if err != nil {
				logger.Error("settings not reloaded", "error", err)
				continue
			}
			select {
			case loads <- loaded:
			case <-ctx.Done():
				return
			}
		}
	}()
	return loads
}

// reload applies settings that were read again until ctx ends: what can change
// at run time takes effect, and one line says what changed and what did not.
func reload[S settings.Settings](ctx context.Context, running S, process Process[S], apply func(S)) {
	for {
		var loaded S
		select {
		case <-ctx.Done():
			return
		case loaded = <-process.Reloads:
		}
		var applied, restart []string
		for _, change := range settings.Diff(running, loaded) {
			if change.Restart {
				restart = append(restart, change.Key)
			} else {
				applied = append(applied, change.Key)
			}
		}
		running = settings.Reload(running, loaded)
		if process.Level != nil {
			process.Level.Set(telemetry.Level(commonOf(running).Telemetry.LogLevel))
		}
		apply(running)
		process.Logger.Info("settings reloaded", "applied", applied, "needs_restart", restart)
	}
}

func commonOf[S settings.Settings](s S) settings.Common {
	common, _ := reflect.ValueOf(s).FieldByName("Common").Interface().(settings.Common)
	return common
}
