package cli

import "github.com/nutmeghitch/nutmeghitch/pkg/platform"

// Call budget of one command. A command is short, so the limit only keeps a
// looping script from using up the platform's rates.
const (
	callsPerSecond = 50
	callBurst      = 200
)

// OpenPlatform returns the client of the platform at url.
func OpenPlatform(url, token string) platform.Store {
	return platform.NewClient(platform.Config{URL: url, Token: token, CallsPerSecond: callsPerSecond, BurstCalls: callBurst})
}
