package reservation

import "context"

// requestKey is the context key of the request ID.
type requestKey struct{}

// WithRequestID returns a context with the ID of a request, which reservations include in their log lines.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// requestIDOf returns the request ID of a context, or an empty string.
func requestIDOf(ctx context.Context) string {
	id, ok := ctx.Value(requestKey{}).(string)
	if !ok {
		return ""
	}
	return id
}
