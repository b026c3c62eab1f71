package steer

import "github.com/coriandershift/coriandershift/internal/coordination/pick"

// Option configures a new Router.
type Option func(*Router)

// WithPolicy sets how agents are chosen for new flows; the default is
// pick.DefaultPolicy. Choices above pick.MaxChoices are reduced to it.
func WithPolicy(policy pick.Policy) Option {
	return func(r *Router) {
		policy.Choices = min(policy.Choices, pick.MaxChoices)
		r.policy = policy
	}
}

// WithLinkRate sets the rate of the balancer's link in bytes per second, in each
// direction; 0, the default, means that it is not known.
func WithLinkRate(rate int) Option {
	return func(r *Router) { r.linkRate = rate }
}
