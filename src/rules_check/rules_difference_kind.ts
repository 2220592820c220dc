/** What differs between two versions of the rules. */
export enum RulesDifferenceKind {
  RouteAdded = "route-added",
  RouteRemoved = "route-removed",
  RouteChanged = "route-changed",
  ServiceAdded = "service-added",
  ServiceRemoved = "service-removed",
  ServiceChanged = "service-changed",
  OrganisationAdded = "organisation-added",
  OrganisationRemoved = "organisation-removed",
  OrganisationChanged = "organisation-changed",
  /** The first organisation was added. */
  KeysRequired = "keys-required",
  /** The last organisation was removed. */
  KeysNotRequired = "keys-not-required",
  KeysWithdrawn = "keys-withdrawn",
  LimitsChanged = "limits-changed",
}
