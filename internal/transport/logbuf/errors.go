package logbuf

import "log/slog"

// ShortErrors logs errors by their message only, without the call stacks that they
// hold. It is for the ReplaceAttr field of slog.HandlerOptions.
func ShortErrors(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() != slog.KindAny {
		return a
	}
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
