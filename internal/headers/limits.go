package headers

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// MaxResponseHead bounds the status line and headers of a response from another
// process. The default of net/http is 10 MB, which a host with hundreds of
// connections does not have.
const MaxResponseHead = 64 * state.KiB
