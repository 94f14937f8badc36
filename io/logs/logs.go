package logs

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
)

// Levels and formats that New accepts, for messages about settings.
const (
	Levels  = "debug, info, warn, error"
	Formats = "logfmt, json"
)

// New returns a logger that writes lines of the given format to w.
func New(w io.Writer, level, format string) (*log.Logger, error) {
	lv, err := log.ParseLevel(level)
	if err != nil || lv == log.FatalLevel {
		return nil, errors.Newf("log level %q, allowed %s", level, Levels)
	}
	l := &log.Logger{Level: lv}
	switch format {
	case "logfmt":
		l.Handler = logfmt.New(w)
	case "json":
		l.Handler = json.New(w)
	default:
		return nil, errors.Newf("log format %q, allowed %s", format, Formats)
	}
	return l, nil
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return &log.Logger{Level: log.FatalLevel, Handler: logfmt.New(io.Discard)}
}
