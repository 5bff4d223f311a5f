// A cron expression: five fields, or a nickname. Blanks part fields, so they are tokens.
grammar Cron;

expression : BLANK? (nickname | fields) BLANK? EOF ;

nickname : NICKNAME ;

fields : field BLANK field BLANK field BLANK field BLANK field ;

field : item (COMMA item)* ;

item : (STAR | range) (SLASH step=NUMBER)? ;

range : low=value (DASH high=value)? ;

value : NUMBER | NAME ;

NICKNAME : '@' [a-zA-Z]* ;
NUMBER : [0-9]+ ;
NAME : [a-zA-Z]+ ;
STAR : '*' ;
COMMA : ',' ;
DASH : '-' ;
SLASH : '/' ;
BLANK : [ \t]+ ;
// Whatever else stands there is a token too, so that the error names its place.
OTHER : . ;
