import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { Route } from "./route.ts";
import type { Snapshot } from "./snapshot.ts";
import { ZoneState } from "./zone_state.ts";

/**
 * Finds what a publication would undo, compared with the version in force.
 *
 * Two operators who edit the same version and publish one after the other undo
 * each other's changes: the second document does not have the first one's. A
 * node cannot tell that from intention, since each document is whole and its
 * number is higher; it detects only two contents under one number and a number
 * that falls. So this comparison names every change that takes something back
 * or away, and the operator has to expect each by name.
 */
export function compareConfigurations(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [
    ...compareNumbers(inForce, next),
    ...compareZones(inForce, next),
    ...compareBackendServers(inForce, next),
    ...compareServices(inForce, next),
    ...compareRoutes(inForce, next),
  ];
}

function compareNumbers(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return next.version.number > inForce.version.number ? [] : [
    createDiagnostic(DiagnosticCode.ConfigurationNumberNotHigher, {
      path: "number",
      found: String(next.version.number),
      allowed: String(inForce.version.number),
    }),
  ];
}

/** A zone may go once it is taken out. */
function compareZones(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [...inForce.zones.values()].flatMap(({ name, state }) => {
    const nextState = next.zones.get(name)?.state;
    const isTakenOut = state === ZoneState.TakenOut;
    if (nextState === undefined && !isTakenOut) {
      return [
        createDiagnostic(DiagnosticCode.ConfigurationZoneRemoved, {
          path: name,
        }),
      ];
    }
    return isTakenOut && nextState === ZoneState.InService
      ? [createDiagnostic(DiagnosticCode.ConfigurationZoneReturned, {
        path: name,
      })]
      : [];
  });
}

/** A backend server may go once it is leaving. */
function compareBackendServers(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [...inForce.backendServers.values()].flatMap(({ name, leaving }) => {
    const nextServer = next.backendServers.get(name);
    if (nextServer === undefined && !leaving) {
      return [
        createDiagnostic(DiagnosticCode.ConfigurationBackendServerRemoved, {
          path: name,
        }),
      ];
    }
    return leaving && nextServer?.leaving === false
      ? [createDiagnostic(DiagnosticCode.ConfigurationBackendServerReturned, {
        path: name,
      })]
      : [];
  });
}

function compareServices(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [...inForce.services.keys()]
    .filter((name) => !next.services.has(name))
    .map((name) => {
      const count = inForce.routes.filter(({ service }) =>
        service === name
      ).length;
      return createDiagnostic(DiagnosticCode.ConfigurationServiceRemoved, {
        path: name,
        found: count === 1 ? "1 route" : `${count} routes`,
      });
    });
}

function compareRoutes(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  const kept = new Set(next.routes.map(getRouteName));
  return inForce.routes
    .filter((route) => !kept.has(getRouteName(route)))
    .map((route) =>
      createDiagnostic(DiagnosticCode.ConfigurationRouteRemoved, {
        path: getRouteName(route),
        found: route.service,
      })
    );
}

function getRouteName({ host, pathPrefix }: Route): string {
  return `${host ?? "*"}${pathPrefix}`;
}
