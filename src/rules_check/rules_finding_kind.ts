/** What a check of rules finds before they are published. */
export enum RulesFindingKind {
  /** Nodes cannot decode the rules and keep the version in force. */
  Undecodable = "undecodable",
  /** The version is not higher than the one in force, so nodes ignore it. */
  VersionNotHigher = "version-not-higher",
  /** A later route has the same host and path prefix, so this one never matches. */
  RouteHidden = "route-hidden",
  /** No target of the route has a weight, so the first one gets all calls. */
  RouteWithoutWeight = "route-without-weight",
  /** A target of weight 0 never gets a call. */
  TargetWithoutWeight = "target-without-weight",
  /** The rules do not define the service of a target. */
  ServiceUnknown = "service-unknown",
  /** No route sends calls to the service. */
  ServiceUnused = "service-unused",
  /** The register lists no backend server of the service. */
  ServiceWithoutServers = "service-without-servers",
  /** Calls end before they can miss the goal. */
  TimeoutBelowGoal = "timeout-below-goal",
  /** Attempts as long as the goal do not fit into the timeout. */
  AttemptsBeyondTimeout = "attempts-beyond-timeout",
  /** Callers' connections are closed before a request's headers may be late. */
  IdleBelowHeader = "idle-below-header",
  /** A rate without a burst admits no call at once. */
  QuotaWithoutBurst = "quota-without-burst",
  /** The backend servers of all services together cannot run that many calls. */
  QuotaAboveCapacity = "quota-above-capacity",
}
