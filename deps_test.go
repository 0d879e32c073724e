package gooseberryshed

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy"
	_ "github.com/Shopify/toxiproxy/toxics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/pkg/errors"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/spf13/cobra"
	_ "github.com/valyala/fasthttp/fasthttputil"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
	_ "testing"
)
