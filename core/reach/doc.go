// Package reach decides how long a request looks for the owner of its database, and when it is refused at once because this
// instance reaches no owner.
package reach
