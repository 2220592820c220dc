/** What a caller got. */
export interface MeshResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the body reached its declared end. */
  readonly whole: boolean;
}
