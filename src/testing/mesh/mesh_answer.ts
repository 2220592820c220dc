/** What a caller got. */
export interface MeshAnswer {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the body reached its declared end. */
  readonly whole: boolean;
}
