import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import type { BasePart } from "./base_part.ts";

/**
 * Checks what the names of a configuration refer to: none unknown, none twice,
 * and no route without a backend server. Depends on the configuration alone,
 * so that every node refuses the same versions for the same reasons.
 */
export function validateConfigurationSet(
  base: BasePart,
  servers: readonly BackendServerEntry[],
): readonly Diagnostic[] {
  const zones = new Set(base.zones.map(({ name }) => name));
  const services = new Set(base.services);
  const serverNames = new Set(servers.map(({ name }) => name));
  const servicesWithServers = new Set(servers.map(({ service }) => service));
  const { routes, zonesTakenOut, backendServersLeaving } = base.rules;
  const getServerPath = (server: BackendServerEntry, field: string) =>
    `register.backendServers["${server.name}"].${field}`;

  return [
    ...findRepeated(base.zones, {
      getKey: ({ name }) => name,
      getPath: (_, index) => `register.zones[${index}].name`,
      allowed: "a name of its own",
    }),
    ...findRepeated(base.services, {
      getKey: (name) => name,
      getPath: (_, index) => `register.services[${index}].name`,
      allowed: "a name of its own",
    }),
    ...(["name", "vm", "address", "nodeAddress"] as const).flatMap((field) =>
      findRepeated(servers, {
        getKey: (server) => server[field],
        getPath: (server) => getServerPath(server, field),
        allowed: field === "name" ? "a name of its own" : `its own "${field}"`,
      })
    ),
    ...findRepeated(routes, {
      getKey: ({ host, pathPrefix }) => `${host ?? "*"} ${pathPrefix}`,
      getPath: (_, index) => `rules.routes[${index}]`,
      allowed: "a host and path prefix of its own",
    }),
    ...servers
      .filter(({ service }) => !services.has(service))
      .map((server) =>
        createUnknown(getServerPath(server, "service"), {
          found: server.service,
          allowed: "register.services",
        })
      ),
    ...servers
      .filter(({ zone }) => !zones.has(zone))
      .map((server) =>
        createUnknown(getServerPath(server, "zone"), {
          found: server.zone,
          allowed: "register.zones",
        })
      ),
    ...servers
      .filter(({ slots, coldSlots }) => coldSlots > slots)
      .map((server) =>
        createDiagnostic(DiagnosticCode.ConfigurationFieldInvalid, {
          path: getServerPath(server, "coldSlots"),
          found: String(server.coldSlots),
          allowed: `at most its "slots", ${server.slots}`,
        })
      ),
    ...routes.flatMap(({ service }, index) =>
      validateRouteService(service, {
        path: `rules.routes[${index}].service`,
        known: services.has(service),
        hasServers: servicesWithServers.has(service),
      })
    ),
    ...zonesTakenOut.flatMap((zone, index) =>
      zones.has(zone) ? [] : [
        createUnknown(`rules.zonesTakenOut[${index}]`, {
          found: zone,
          allowed: "register.zones",
        }),
      ]
    ),
    ...backendServersLeaving.flatMap((name, index) =>
      serverNames.has(name) ? [] : [
        createUnknown(`rules.backendServersLeaving[${index}]`, {
          found: name,
          allowed: "register.backendServers",
        }),
      ]
    ),
  ];
}

function validateRouteService(
  service: string,
  options: {
    readonly path: string;
    readonly known: boolean;
    readonly hasServers: boolean;
  },
): readonly Diagnostic[] {
  if (!options.known) {
    return [
      createUnknown(options.path, {
        found: service,
        allowed: "register.services",
      }),
    ];
  }
  return options.hasServers ? [] : [
    createDiagnostic(DiagnosticCode.ConfigurationServiceEmpty, {
      path: options.path,
      found: service,
    }),
  ];
}

function createUnknown(
  path: string,
  details: { readonly found: string; readonly allowed: string },
): Diagnostic {
  return createDiagnostic(DiagnosticCode.ConfigurationNameUnknown, {
    path,
    ...details,
  });
}

function findRepeated<Entry>(
  entries: readonly Entry[],
  options: {
    readonly getKey: (entry: Entry) => string;
    readonly getPath: (entry: Entry, index: number) => string;
    readonly allowed: string;
  },
): readonly Diagnostic[] {
  const seen = new Set<string>();
  return entries.flatMap((entry, index) => {
    const key = options.getKey(entry);
    if (!seen.has(key)) {
      seen.add(key);
      return [];
    }
    return [
      createDiagnostic(DiagnosticCode.ConfigurationNameRepeated, {
        path: options.getPath(entry, index),
        found: key,
        allowed: options.allowed,
      }),
    ];
  });
}
