import pino from "pino";
import { formatVersion } from "../configuration/format_version.ts";
import type { Version } from "../configuration/version.ts";
import type { NodeSettings } from "../daemon/node_settings.ts";
import type { Log } from "./log.ts";

/** Creates a log that writes JSON lines with the VM, the zone and the version in force to standard output. */
export function createLog(
  settings: NodeSettings,
  getVersion: () => Version | undefined,
): Log {
  const logger = pino({
    level: settings.logLevel,
    base: { vm: settings.vm, zone: settings.zone },
    mixin: () => {
      const version = getVersion();
      return { version: version === undefined ? null : formatVersion(version) };
    },
  }, pino.destination({ dest: 1, sync: true }));
  return {
    debug: (fields, message) => logger.debug(fields, message),
    info: (fields, message) => logger.info(fields, message),
    warn: (fields, message) => logger.warn(fields, message),
    error: (fields, message) => logger.error(fields, message),
  };
}
