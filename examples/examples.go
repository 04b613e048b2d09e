// Package examples holds the configuration of the two sites that the tier was
// designed for, with all addresses on the loopback interface.
package examples

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

//go:embed *.jsonc
var files embed.FS

const (
	baseFile = "base.jsonc"
	suffix   = ".jsonc"
)

// UnknownSiteError reports a site without an overlay.
type UnknownSiteError struct {
	Site  string
	Sites []string
}

// Error implements error.
func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("no example for site %q, there are: %s", e.Site, strings.Join(e.Sites, ", "))
}

// Sites returns the names of the example sites.
func Sites() []string {
	names, err := fs.Glob(files, "*"+suffix)
	if err != nil {
		panic(fmt.Sprintf("examples: %v", err))
	}
	var sites []string
	for _, name := range names {
		if name != baseFile {
			sites = append(sites, strings.TrimSuffix(name, suffix))
		}
	}
	return sites
}

// Document returns the configuration of a site.
func Document(site string) (*model.Document, error) {
	base, err := files.ReadFile(baseFile)
	if err != nil {
		return nil, err
	}
	name := site + suffix
	overlay, err := files.ReadFile(name)
	if err != nil || name == baseFile {
		return nil, &UnknownSiteError{Site: site, Sites: Sites()}
	}
	m, err := config.Load(config.Source{Name: baseFile, Data: base}, config.Source{Name: name, Data: overlay})
	if err != nil {
		return nil, err
	}
	return m.Document, nil
}
