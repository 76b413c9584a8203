package transport

import (
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"swiftswitch/internal/events"
)

const contentTypeJSON = "application/json"

// errorBody is the body of a response that isn't a success.
type errorBody struct {
	Error string `json:"Error"`
}

// WriteJSON answers with v as JSON.
func WriteJSON(c *app.RequestContext, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{}`)
	}
	c.SetStatusCode(status)
	c.Response.Header.SetContentType(contentTypeJSON)
	c.Response.SetBodyRaw(body)
}

// WriteError answers with a status that isn't a success, and its reason.
func WriteError(c *app.RequestContext, status int, message string) {
	WriteJSON(c, status, errorBody{Error: message})
}

// ReadJSON decodes the body of a node's message into v. If it can't, it
// answers 400 and returns false.
func ReadJSON(c *app.RequestContext, v any) bool {
	if err := json.Unmarshal(c.Request.Body(), v); err != nil {
		events.Log(events.MessageRejected, "path", string(c.Request.Header.RequestURI()), "from", c.RemoteAddr(), "err", err)
		WriteError(c, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
