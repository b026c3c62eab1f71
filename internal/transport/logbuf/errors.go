package logbuf

import "log/slog"

// ShortErrors keeps the call stacks that errors carry out of the log. It is a
// ReplaceAttr of slog.HandlerOptions.
func ShortErrors(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() != slog.KindAny {
		return a
	}
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
