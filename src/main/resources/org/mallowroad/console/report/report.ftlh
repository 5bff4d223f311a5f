<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<title>mallowroad, ${made}</title>
<style>
body { font: 14px/1.45 sans-serif; margin: 1.5em auto; max-width: 1180px; padding: 0 1em; color: #222; }
h1 { font-size: 1.4em; margin-bottom: 0; }
h2 { font-size: 1.1em; margin: 1.6em 0 .4em; }
.from { color: #666; margin-top: .2em; }
.first { background: #fff6df; border-left: 4px solid #d99a1c; padding: .6em 1em; }
.first h2 { margin: 0 0 .3em; }
.first ol { margin: 0; padding-left: 1.4em; }
.facts span { display: inline-block; margin: .8em 1.6em 0 0; font-weight: bold; }
.plots { display: flex; flex-wrap: wrap; gap: 1em; }
figure { margin: 0; } figcaption { font-weight: bold; }
figure svg { max-width: 100%; height: auto; }
.wide { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; }
th { text-align: left; border-bottom: 2px solid #999; white-space: nowrap; }
th button { font: inherit; font-weight: bold; background: none; border: 0; padding: .2em .5em .2em 0; cursor: pointer; }
th[aria-sort=ascending] button::after { content: " \25B2"; } th[aria-sort=descending] button::after { content: " \25BC"; }
td { border-bottom: 1px solid #ddd; padding: .2em .8em .2em 0; vertical-align: top; }
td:last-child { color: #555; min-width: 16em; }
input { margin: 0 0 .4em; padding: .2em .4em; width: 20em; max-width: 100%; }
</style>
</head>
<body>
<h1>mallowroad</h1>
<p class="from">Made ${made} from ${source}<#if age?has_content>, ${age} old</#if>. This page holds one moment and does not renew itself.</p>
<p class="facts"><#list facts as f><span>${f}</span></#list></p>
<#list tables as t>
<#if t.id == "teams">
<h2>The last hour at most</h2>
<#if noPlots?has_content><p>${noPlots}</p></#if>
<div class="plots">
<#list plots as p><figure><figcaption>${p.title}</figcaption>${p.svg?no_esc}</figure>
</#list>
</div>
</#if>
<h2>${t.title}</h2>
<#if t.rows?size == 0>
<p>None.</p>
<#else>
<#if t.rows?size gt 12><input type="search" placeholder="Only lines with ..." aria-label="Filter ${t.title}" data-for="${t.id}"></#if>
<div class="wide"><table id="${t.id}">
<thead><tr><#list t.head as h><th scope="col"><button type="button">${h}</button></th></#list></tr></thead>
<tbody>
<#list t.rows as r><tr><#list r as c><td data-key="${c.key}">${c.text}</td></#list></tr>
</#list></tbody>
</table></div>
</#if>
</#list>
<div class="first">
<h2>Look at this first</h2>
<ol><#list first as f><li>${f}</li></#list></ol>
</div>
<script>
document.querySelectorAll('th button').forEach(function (b) {
  b.addEventListener('click', function () {
    var th = b.parentNode, table = th.closest('table'), body = table.tBodies[0], i = th.cellIndex;
    var down = th.getAttribute('aria-sort') === 'ascending';
    table.querySelectorAll('th').forEach(function (o) { o.removeAttribute('aria-sort'); });
    th.setAttribute('aria-sort', down ? 'descending' : 'ascending');
    Array.from(body.rows).sort(function (x, y) {
      var a = x.cells[i].dataset.key, c = y.cells[i].dataset.key, n = Number(a) - Number(c);
      var by = a !== '' && c !== '' && !isNaN(n) ? n : a.localeCompare(c);
      return down ? -by : by;
    }).forEach(function (r) { body.appendChild(r); });
  });
});
document.querySelectorAll('input[data-for]').forEach(function (f) {
  f.addEventListener('input', function () {
    var want = f.value.toLowerCase();
    Array.from(document.getElementById(f.dataset.for).tBodies[0].rows).forEach(function (r) {
      r.hidden = r.textContent.toLowerCase().indexOf(want) < 0;
    });
  });
});
</script>
</body>
</html>
