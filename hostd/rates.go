package hostd

import (
	"context"
	"time"

	"github.com/gooseberryshed/gooseberryshed/routes"
)

// unlimited admits everything.
type unlimited struct{}

// Take implements rates.
func (unlimited) Take(context.Context, *routes.Workspace) (bool, time.Duration) { return true, 0 }
