package reservation

import "context"

// requestKey is the key of the request in a context.
type requestKey struct{}

// ForRequest returns a context whose reservations name a request in their log lines.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// requestOf returns the request of a context; empty when it has none.
func requestOf(ctx context.Context) string {
	id, ok := ctx.Value(requestKey{}).(string)
	if !ok {
		return ""
	}
	return id
}
