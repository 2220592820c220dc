/**
 * A structured log with the levels of `pino`. Lines of the level `info` tell of
 * changes of the node itself. The others may follow from what other processes
 * send, and their number per second is limited.
 */
export interface Log {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}
