import { RulesDifferenceKind } from "./rules_difference_kind.ts";

/** What callers notice first of each kind of difference. */
export const differenceEffects: Readonly<Record<RulesDifferenceKind, string>> =
  {
    [RulesDifferenceKind.RouteAdded]:
      "Calls that had no route, or one with a shorter prefix, get this one",
    [RulesDifferenceKind.RouteRemoved]:
      "Calls get a route with a shorter prefix, or status 404",
    [RulesDifferenceKind.RouteChanged]:
      "New calls follow the changed fields; running calls keep the earlier ones",
    [RulesDifferenceKind.ServiceAdded]: "Nothing until a route names it",
    [RulesDifferenceKind.ServiceRemoved]:
      "Calls on routes that still name it are refused",
    [RulesDifferenceKind.ServiceChanged]:
      "Backend servers in cold start are admitted at another rate, or probed at another path",
    [RulesDifferenceKind.OrganisationAdded]: "Its keys are accepted",
    [RulesDifferenceKind.OrganisationRemoved]:
      "Calls with its keys get status 401 if other organisations are left",
    [RulesDifferenceKind.OrganisationChanged]:
      "Its calls have another priority, or get status 429 at another rate",
    [RulesDifferenceKind.KeysRequired]:
      "Calls without a key get status 401, except on public routes",
    [RulesDifferenceKind.KeysNotRequired]:
      "There is no organisation, so no call needs a key",
    [RulesDifferenceKind.KeysWithdrawn]:
      "Calls with the withdrawn keys get status 401",
    [RulesDifferenceKind.LimitsChanged]:
      "Connections and requests of callers are limited differently",
  };
