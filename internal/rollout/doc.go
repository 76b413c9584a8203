// Package belay is the rollout controller: it decides how far a new version
// of a service's searchers may go. Fronts count what they see of both
// versions, huts merge the counts and run control charts over them, and what
// the charts propose the log decides. All of it is pure.
package rollout
